package garnetscale.cli;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import garnetscale.core.upgrade.UpgradeStep;
import garnetscale.peer.PeerMessage;
import garnetscale.peer.PeerMessage.OperatorResponse.Outcome;
import garnetscale.wire.Trees;
import java.io.IOException;
import java.io.PrintWriter;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Base class of the operators' commands. Sends a command's request to a controller and prints the answer. */
@Command(mixinStandardHelpOptions = true)
abstract class OperatorCommand implements Callable<Integer> {

    private static final int OK = 0;
    private static final int FAILED = 1;
    /** Delay before a request is repeated while its upgrade step is under way. */
    private static final long POLL_INTERVAL_MS = 200;

    @Spec
    CommandSpec spec;

    @Parameters(index = "0", paramLabel = "ADDRESS", description = "A controller's address for other controllers.")
    String address;

    @Option(names = "--json", description = "Print the answer as JSON.")
    boolean json;

    @Option(
            names = "--timeout",
            paramLabel = "SECONDS",
            defaultValue = "5",
            description = "Give up after so long (default ${DEFAULT-VALUE}).")
    int timeoutS;

    /** Returns the request that the command sends. */
    abstract PeerMessage.OperatorRequest request();

    @Override
    public Integer call() throws InterruptedException {
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(timeoutS);
        OperatorClient client = new OperatorClient(address, Math.max(1, timeoutS) * 1000);
        try {
            PeerMessage.OperatorResponse answer = client.send(request());
            while (answer.outcome() == Outcome.UNDER_WAY && System.nanoTime() < deadlineNs) {
                TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
                answer = client.send(request());
            }
            return print(answer);
        } catch (IOException e) {
            spec.commandLine().getErr().println("garnetscale: " + address + " doesn't answer: " + e.getMessage());
            return FAILED;
        }
    }

    private int print(PeerMessage.OperatorResponse answer) throws IOException {
        PrintWriter out = spec.commandLine().getOut();
        Object fields = read(answer.json());
        if (answer.outcome() == Outcome.REFUSED) {
            spec.commandLine().getErr().println("garnetscale: refused: " + ((Map<?, ?>) fields).get("reason"));
            return FAILED;
        }
        if (answer.outcome() == Outcome.UNDER_WAY) {
            spec.commandLine().getErr().println("garnetscale: not carried out yet; ask again");
            return FAILED;
        }
        if (json) {
            out.println(answer.json());
        } else {
            print(out, "", (Map<?, ?>) fields);
        }
        out.flush();
        return OK;
    }

    private static Object read(String json) throws IOException {
        try (JsonParser parser = new JsonFactory().createParser(json)) {
            return Trees.read(parser);
        }
    }

    private static void print(PrintWriter out, String indent, Map<?, ?> fields) {
        fields.forEach((key, value) -> {
            if (value instanceof Map<?, ?> map) {
                out.println(indent + key + ":");
                print(out, indent + "  ", map);
            } else if (value instanceof List<?> rows) {
                out.println(indent + key + ":" + (rows.isEmpty() ? " none" : ""));
                rows.forEach(row -> out.println(indent + "  " + row(row)));
            } else {
                out.println(indent + key + ": " + value);
            }
        });
    }

    private static String row(Object row) {
        if (!(row instanceof Map<?, ?> map)) {
            return String.valueOf(row);
        }
        StringBuilder text = new StringBuilder();
        map.forEach((key, value) ->
                text.append(text.isEmpty() ? "" : "  ").append(key).append(' ').append(value));
        return text.toString();
    }

    /** Shows a controller's view of the cluster. */
    @Command(name = "status", description = "Show leader, versions, controllers, blocks, teams and budgets.")
    static final class Status extends OperatorCommand {

        @Override
        PeerMessage.OperatorRequest request() {
            return new PeerMessage.OperatorRequest(PeerMessage.OperatorRequest.Kind.STATUS, "");
        }
    }

    /** Shows one job. */
    @Command(name = "job", description = "Show a job's state, why it waits and where it runs.")
    static final class Job extends OperatorCommand {

        @Parameters(index = "1", paramLabel = "ID", description = "The job's id.")
        String id;

        @Override
        PeerMessage.OperatorRequest request() {
            return new PeerMessage.OperatorRequest(PeerMessage.OperatorRequest.Kind.JOB, id);
        }
    }

    /** Base class of the commands that request a step of an upgrade. Only the leader carries out steps. */
    abstract static class Step extends OperatorCommand {

        abstract UpgradeStep step();

        @Override
        PeerMessage.OperatorRequest request() {
            return new PeerMessage.OperatorRequest(PeerMessage.OperatorRequest.Kind.UPGRADE, step().name());
        }
    }

    /** Requests {@link UpgradeStep#ACTIVATE}. */
    @Command(name = "activate", description = "Make the next version of what is stored the active one.")
    static final class Activate extends Step {

        @Override
        UpgradeStep step() {
            return UpgradeStep.ACTIVATE;
        }
    }

    /** Requests {@link UpgradeStep#DEACTIVATE}. */
    @Command(name = "deactivate", description = "Go back to the version before; what is stored is converted.")
    static final class Deactivate extends Step {

        @Override
        UpgradeStep step() {
            return UpgradeStep.DEACTIVATE;
        }
    }

    /** Requests {@link UpgradeStep#FINALIZE}. */
    @Command(name = "finalize", description = "Give up the way back to the version before.")
    static final class Finalize extends Step {

        @Override
        UpgradeStep step() {
            return UpgradeStep.FINALIZE;
        }
    }

    /** Parent of the upgrade's subcommands; prints the usage if called without one. */
    @Command(
            name = "upgrade",
            mixinStandardHelpOptions = true,
            description = "See and change the version of what is stored.",
            subcommands = {Status.class, Activate.class, Deactivate.class, Finalize.class})
    static final class Upgrade implements Callable<Integer> {

        private static final int BAD_INPUT = 2;

        @Spec
        CommandSpec spec;

        @Override
        public Integer call() {
            spec.commandLine().usage(spec.commandLine().getErr());
            return BAD_INPUT;
        }
    }
}
