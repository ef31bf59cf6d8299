package garnetscale.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.dataformat.toml.TomlFactory;
import garnetscale.wire.Trees;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Reads TOML files as plain maps, lists, strings and numbers. */
final class TomlFile {

    private TomlFile() {}

    static Object read(Path file) throws InvalidConfigurationException {
        // The parser alone: to make a mapper, which this has no use for, took a third of the whole start-up.
        try (JsonParser parser = new TomlFactory().createParser(Files.readString(file))) {
            return Trees.read(parser);
        } catch (JsonProcessingException e) {
            throw new InvalidConfigurationException(List.of("not TOML: " + e.getOriginalMessage() + position(e)));
        } catch (IOException e) {
            throw new InvalidConfigurationException(List.of("can't be read: " + e));
        }
    }

    private static String position(JsonProcessingException exception) {
        return exception.getLocation() == null
                ? ""
                : ", line " + exception.getLocation().getLineNr();
    }
}
