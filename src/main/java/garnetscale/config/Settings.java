package garnetscale.config;

import garnetscale.core.Features;
import garnetscale.core.SchedulerConfig;
import java.nio.file.Path;

/**
 * The platform's settings for one controller (PROTOCOL, "Settings"). Unknown keys in the file are ignored.
 *
 * <p>All addresses are an IPv4 address and a port, such as 10.0.0.1:8080.
 *
 * @param config        the settings that scheduling decisions depend on
 * @param listenAddress the address at which the controller accepts requests of users and workers
 * @param peerAddress   the address at which it accepts connections of other controllers and of operators' commands
 * @param cloudAddress  the address of the cloud
 * @param stateAddress  the address of the state service
 * @param cpuShare      the CPU that the process may use, in cores; usually a fraction of one
 * @param ramMb         the memory that the process may use, in MB
 */
public record Settings(
        SchedulerConfig config,
        String listenAddress,
        String peerAddress,
        String cloudAddress,
        String stateAddress,
        double cpuShare,
        double ramMb) {

    /**
     * Reads the settings of a controller with all features disabled.
     *
     * @throws InvalidConfigurationException if the file can't be read, or a key is missing or its value invalid
     */
    public static Settings read(Path file) throws InvalidConfigurationException {
        return read(file, Features.NONE);
    }

    /**
     * Reads the settings of a controller with the given features.
     *
     * @throws InvalidConfigurationException if the file can't be read, or a key is missing or its value invalid
     */
    public static Settings read(Path file, Features features) throws InvalidConfigurationException {
        return new SettingsReader(TomlFile.read(file), features).read();
    }
}
