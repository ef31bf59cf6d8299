package garnetscale.config;

import java.util.List;

/** Thrown when a settings or features file can't be used; carries at least one problem. */
public final class InvalidConfigurationException extends Exception {

    private static final long serialVersionUID = 1L;

    private final transient List<String> problems;

    InvalidConfigurationException(List<String> problems) {
        super(String.join("; ", problems));
        this.problems = List.copyOf(problems);
    }

    /** Returns one line for each problem; the line begins with the key concerned, if the problem is about a key. */
    public List<String> problems() {
        return problems;
    }
}
