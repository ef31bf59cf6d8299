package garnetscale.config;

import java.util.List;

/** A settings or features file can't be used; it has one problem or more. */
public final class InvalidConfigurationException extends Exception {

    private static final long serialVersionUID = 1L;

    private final transient List<String> problems;

    InvalidConfigurationException(List<String> problems) {
        super(String.join("; ", problems));
        this.problems = List.copyOf(problems);
    }

    /** What is wrong, a line each; a line begins with the key that it is about. */
    public List<String> problems() {
        return problems;
    }
}
