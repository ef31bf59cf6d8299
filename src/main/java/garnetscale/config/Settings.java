package garnetscale.config;

import garnetscale.core.Features;
import garnetscale.core.SchedulerConfig;
import java.nio.file.Path;

/**
 * The platform's settings for one controller (PROTOCOL, "Settings"). Unknown keys are ignored.
 *
 * @param listen   the address for users and workers
 * @param back     the address for other controllers and operators' commands
 * @param cloud    the address of the cloud
 * @param state    the address of the state service
 * @param cpuShare the part of a core that the process may use
 * @param ramMb    the memory that the process may use, in MB
 */
public record Settings(
        SchedulerConfig config, String listen, String back, String cloud, String state, double cpuShare, double ramMb) {

    /**
     * Reads the settings of a controller on which no feature is enabled.
     *
     * @throws InvalidConfigurationException if the file can't be read, or keys are missing or out of range
     */
    public static Settings read(Path file) throws InvalidConfigurationException {
        return read(file, Features.NONE);
    }

    /**
     * Reads the settings of a controller with these features.
     *
     * @throws InvalidConfigurationException if the file can't be read, or keys are missing or out of range
     */
    public static Settings read(Path file, Features features) throws InvalidConfigurationException {
        return new SettingsReader(TomlFile.read(file), features).read();
    }
}
