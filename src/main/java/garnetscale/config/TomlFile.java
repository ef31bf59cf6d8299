package garnetscale.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.dataformat.toml.TomlFactory;
import garnetscale.wire.Trees;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Reads TOML files as plain maps, lists, strings, numbers and booleans. */
final class TomlFile {

    private TomlFile() {}

    static Object read(Path file) throws InvalidConfigurationException {
        // Uses only the parser: creating an object mapper, which isn't needed here, took a third of the start-up time.
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
