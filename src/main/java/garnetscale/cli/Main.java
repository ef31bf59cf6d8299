package garnetscale.cli;

import garnetscale.config.FeaturesFile;
import garnetscale.config.InvalidConfigurationException;
import garnetscale.config.Settings;
import garnetscale.controller.ControllerNode;
import garnetscale.core.Features;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The entry point of the process: starts a controller or runs one of the other commands. */
@Command(
        name = "garnetscale",
        mixinStandardHelpOptions = true,
        version = "garnetscale 0.1.0",
        description = "A cluster scheduler whose machines bid for work.",
        subcommands = {
            Main.Check.class,
            LoopbackDemo.class,
            OperatorCommand.Status.class,
            OperatorCommand.Job.class,
            OperatorCommand.Upgrade.class
        })
public final class Main implements Callable<Integer> {

    private static final int OK = 0;
    private static final int CANNOT_SERVE = 1;
    private static final int BAD_INPUT = 2;

    @Option(names = "--config", paramLabel = "FILE", description = "Serve with the platform's settings in FILE (TOML).")
    Path config;

    @Option(
            names = "--features",
            paramLabel = "FILE",
            description = "What is switched on, in FILE (TOML); without it nothing is.")
    Path features;

    /** Validates settings and features files without serving. */
    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description = "Validate settings or features without serving.")
    static final class Check implements Callable<Integer> {

        @Option(names = "--config", paramLabel = "FILE", description = "The settings file.")
        Path config;

        @Option(names = "--features", paramLabel = "FILE", description = "The features file.")
        Path features;

        @Override
        public Integer call() {
            if (config == null && features == null) {
                System.err.println("garnetscale: --config FILE or --features FILE is missing; see --help");
                return BAD_INPUT;
            }
            boolean valid = features == null || check(features, FeaturesFile::read);
            valid &= config == null || check(config, Settings::read);
            return valid ? OK : BAD_INPUT;
        }

        private interface Reader {
            Object read(Path file) throws InvalidConfigurationException;
        }

        private static boolean check(Path file, Reader reader) {
            try {
                reader.read(file);
                System.out.println(file + ": good");
                return true;
            } catch (InvalidConfigurationException e) {
                printProblems(file, e);
                return false;
            }
        }
    }

    private static void printProblems(Path file, InvalidConfigurationException exception) {
        exception.problems().forEach(problem -> System.err.println(file + ": " + problem));
    }

    @Override
    public Integer call() throws InterruptedException {
        if (config == null) {
            System.err.println("garnetscale: --config FILE is missing; see --help");
            return BAD_INPUT;
        }
        return serve(config, features);
    }

    /**
     * Serves until the process is killed; returns only if it can't serve.
     *
     * @param features the features file; null to enable no feature
     * @return the exit code
     */
    private static int serve(Path config, Path features) throws InterruptedException {
        Path currentFile = features;
        Settings settings;
        try {
            Features enabledFeatures = features == null ? Features.NONE : FeaturesFile.read(features);
            currentFile = config;
            settings = Settings.read(config, enabledFeatures);
        } catch (InvalidConfigurationException e) {
            printProblems(currentFile, e);
            return BAD_INPUT;
        }
        try {
            new ControllerNode(settings).start();
        } catch (IOException e) {
            System.err.println("garnetscale: " + e.getMessage());
            return CANNOT_SERVE;
        }
        new CountDownLatch(1).await();
        return OK;
    }

    private static void setUpLogging() {
        String requested = System.getenv("LOG_LEVEL");
        String level = requested == null ? "info" : requested.toLowerCase(Locale.ROOT);
        if (!List.of("error", "info", "debug").contains(level)) {
            System.err.println("garnetscale: LOG_LEVEL is not error, info or debug; taking info");
            level = "info";
        }
        // Names the provider, which saves a search for providers in every file of the jar at each start.
        System.setProperty("slf4j.internal.verbosity", "WARN");
        System.setProperty("slf4j.provider", "org.slf4j.simple.SimpleServiceProvider");
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level);
        System.setProperty("org.slf4j.simpleLogger.log.io.netty", level.equals("debug") ? "info" : level);
        // Without these properties, Netty derives its ids from the hardware address and the process id.
        System.setProperty("io.netty.machineId", "02:00:00:00:00:01:00:00");
        System.setProperty("io.netty.processId", "1");
        System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
        System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
    }

    /**
     * Runs the command line and exits with the command's exit code: 0 on success, 2 for invalid arguments or files, otherwise 1,
     * for example if the process can't serve, or a controller refuses a request or doesn't answer.
     */
    public static void main(String[] args) throws InterruptedException {
        setUpLogging();
        // The platform starts the process with one of these two forms. They are parsed without picocli, because the
        // class archive can't hold picocli, and parsing these few arguments with it would take a third of the start-up
        // time.
        if (args.length == 2 && args[0].equals("--config")) {
            System.exit(serve(Path.of(args[1]), null));
        }
        if (args.length == 4 && args[0].equals("--features") && args[2].equals("--config")) {
            System.exit(serve(Path.of(args[3]), Path.of(args[1])));
        }
        System.exit(new CommandLine(new Main()).execute(args));
    }
}
