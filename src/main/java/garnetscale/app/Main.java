package garnetscale.app;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The command line. */
@Command(
        name = "garnetscale",
        mixinStandardHelpOptions = true,
        version = "garnetscale 0.1.0",
        description = "A cluster scheduler whose machines bid for work.",
        subcommands = {Main.Check.class, Rehearsal.class})
public final class Main implements Callable<Integer> {

    @Option(names = "--config", paramLabel = "FILE", description = "Serve with the platform's settings in FILE (TOML).")
    Path config;

    @Command(name = "check", mixinStandardHelpOptions = true, description = "Validate settings without serving.")
    static final class Check implements Callable<Integer> {

        @Option(names = "--config", required = true, paramLabel = "FILE", description = "The settings file.")
        Path config;

        @Override
        public Integer call() {
            try {
                Settings.read(config);
                System.out.println(config + ": good");
                return 0;
            } catch (Settings.Faults e) {
                e.faults().forEach(f -> System.err.println(config + ": " + f));
                return 2;
            }
        }
    }

    @Override
    public Integer call() throws InterruptedException {
        if (config == null) {
            System.err.println("garnetscale: --config FILE is missing; see --help");
            return 2;
        }
        return serve(config);
    }

    private static int serve(Path config) throws InterruptedException {
        Settings settings;
        try {
            settings = Settings.read(config);
        } catch (Settings.Faults e) {
            System.err.println("garnetscale: " + config + ": " + e.getMessage());
            return 2;
        }
        try {
            new Node(settings).start();
        } catch (IOException e) {
            System.err.println("garnetscale: " + e.getMessage());
            return 1;
        }
        new CountDownLatch(1).await();
        return 0;
    }

    private static void setUpLogging() {
        String wanted = System.getenv("LOG_LEVEL");
        String level = wanted == null ? "info" : wanted.toLowerCase(Locale.ROOT);
        if (!List.of("error", "info", "debug").contains(level)) {
            System.err.println("garnetscale: LOG_LEVEL is not error, info or debug; taking info");
            level = "info";
        }
        // Named, so that no start has to look for providers in every file of the jar.
        System.setProperty("slf4j.internal.verbosity", "WARN");
        System.setProperty("slf4j.provider", "org.slf4j.simple.SimpleServiceProvider");
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level);
        System.setProperty("org.slf4j.simpleLogger.log.io.netty", level.equals("debug") ? "info" : level);
        // Netty makes its ids from the hardware address and the process id unless it is told some.
        System.setProperty("io.netty.machineId", "02:00:00:00:00:01:00:00");
        System.setProperty("io.netty.processId", "1");
        System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
        System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
    }

    public static void main(String[] args) throws InterruptedException {
        setUpLogging();
        // The platform's own call, at every restart: the class archive can't hold picocli, and parsing these two
        // words with it would take a third of the start-up.
        if (args.length == 2 && args[0].equals("--config")) {
            System.exit(serve(Path.of(args[1])));
        }
        System.exit(new CommandLine(new Main()).execute(args));
    }
}
