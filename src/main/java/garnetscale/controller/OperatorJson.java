package garnetscale.controller;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import garnetscale.core.cluster.ControllerInfo;
import garnetscale.core.machine.Placement;
import garnetscale.core.state.Records;
import garnetscale.wire.Trees;
import java.io.IOException;
import java.io.StringWriter;

/**
 * Writes the answers to operators as JSON. Keys, their order and named values are an interface that operators' scripts read, so
 * they stay as they are even where types and constants in the code have other names. Not thread-safe.
 */
final class OperatorJson {

    private static final String NONE = "none";

    private final StringWriter text = new StringWriter();
    private final JsonGenerator json;

    private OperatorJson() throws IOException {
        json = new JsonFactory().createGenerator(text);
    }

    /** Writes the fields of one view; {@link #write} opens and closes the object around them. */
    private interface Body {
        void write(OperatorJson out) throws IOException;
    }

    private static String write(Body body) {
        try {
            OperatorJson out = new OperatorJson();
            out.json.writeStartObject();
            body.write(out);
            out.json.writeEndObject();
            out.json.close();
            return out.text.toString();
        } catch (IOException e) {
            throw new IllegalStateException("can't write JSON to a string in memory", e);
        }
    }

    /** Returns the answer to {@code status}. */
    static String status(StatusView status) {
        return write(out -> out.writeStatus(status));
    }

    /** Returns the answer to {@code upgrade}: the versions after the step. */
    static String version(StatusView.Version version) {
        return write(out -> out.writeVersion(version));
    }

    /** Returns the answer to {@code job} for a job in the replica. */
    static String job(JobDetails job) {
        return write(out -> out.writeJob(job));
    }

    /** Returns the answer to {@code job} for a terminal job; only a summary of the job is still stored. */
    static String terminalJob(String id, Records.TerminalJob job) {
        return write(out -> out.writeTerminalJob(id, job));
    }

    /** Returns the load alone, in the same form as in the answer to {@code status}. */
    static String load(LoadView load) {
        return write(out -> out.writeLoad(load));
    }

    /** Returns the answer to a request that was refused. */
    static String reason(String reason) {
        return write(out -> out.json.writeStringField("reason", reason));
    }

    private void writeStatus(StatusView status) throws IOException {
        json.writeStringField("node", status.controller());
        json.writeBooleanField("complete", status.complete());
        if (status.unreadable() != null) {
            json.writeStringField("unreadable", status.unreadable());
        }
        json.writeBooleanField("ready", status.process().ready());
        json.writeNumberField("state_age_ms", status.process().stateAgeMs());
        json.writeFieldName("budgets");
        Trees.write(json, status.process().rateLimits());
        json.writeStringField(
                "leader", status.leader() == null ? NONE : status.leader().node());
        json.writeNumberField(
                "leader_term", status.leader() == null ? 0 : status.leader().term());
        json.writeObjectFieldStart("version");
        writeVersion(status.version());
        json.writeEndObject();
        json.writeArrayFieldStart("controllers");
        for (ControllerInfo controller : status.controllers()) {
            writeController(controller);
        }
        json.writeEndArray();
        json.writeArrayFieldStart("blocks");
        for (StatusView.Partition partition : status.partitions()) {
            writePartition(partition);
        }
        json.writeEndArray();
        json.writeNumberField("machines_with_records", status.machinesWithRecords());
        json.writeArrayFieldStart("teams");
        for (StatusView.Team team : status.teams()) {
            writeTeam(team);
        }
        json.writeEndArray();
        if (status.load() != null) {
            json.writeObjectFieldStart("load");
            writeLoad(status.load());
            json.writeEndObject();
        }
    }

    private void writeVersion(StatusView.Version version) throws IOException {
        json.writeNumberField("active", version.active());
        json.writeNumberField("floor", version.floor());
        json.writeBooleanField("converted", version.converted());
        json.writeStringField("supported_here", version.supportedHere());
    }

    private void writeController(ControllerInfo controller) throws IOException {
        json.writeStartObject();
        json.writeStringField("node", controller.name());
        json.writeStringField("zone", controller.zone());
        json.writeNumberField("incarnation", controller.incarnation());
        json.writeStringField("versions", controller.layouts().toString());
        json.writeEndObject();
    }

    private void writePartition(StatusView.Partition partition) throws IOException {
        json.writeStartObject();
        json.writeStringField("block", partition.name());
        json.writeStringField("holder", partition.owner() == null ? NONE : partition.owner());
        json.writeNumberField("term", partition.term());
        json.writeEndObject();
    }

    private void writeTeam(StatusView.Team team) throws IOException {
        json.writeStartObject();
        json.writeStringField("team", team.name());
        json.writeNumberField("jobs", team.jobs());
        json.writeNumberField("waiting", team.waiting());
        json.writeNumberField("placed", team.placed());
        json.writeNumberField("cpus", team.cpus());
        json.writeNumberField("cpus_guaranteed", team.cpusGuaranteed());
        writeLimit("cpus_max", team.cpusMax());
        json.writeNumberField("gpus", team.gpus());
        writeLimit("gpus_max", team.gpusMax());
        json.writeEndObject();
    }

    private void writeLimit(String name, double limit) throws IOException {
        if (Double.isInfinite(limit)) {
            json.writeStringField(name, NONE);
        } else {
            json.writeNumberField(name, limit);
        }
    }

    private void writeJob(JobDetails job) throws IOException {
        json.writeStringField("job", job.id());
        json.writeStringField("state", job.state());
        json.writeStringField("team", job.team());
        json.writeStringField("class", job.jobClass());
        json.writeNumberField("tasks", job.tasks());
        json.writeNumberField("finished", job.finished());
        json.writeNumberField("placed", job.placed());
        json.writeNumberField("waiting", job.waiting());
        if (job.reason() != null) {
            json.writeStringField("why", job.reason());
        }
        json.writeArrayFieldStart("placements");
        for (JobDetails.PlacementRow placement : job.placements()) {
            writePlacement(placement);
        }
        json.writeEndArray();
        if (!job.moves().isEmpty()) {
            json.writeArrayFieldStart("moves");
            for (JobDetails.MoveRow move : job.moves()) {
                writeMove(move);
            }
            json.writeEndArray();
        }
    }

    private void writePlacement(JobDetails.PlacementRow placement) throws IOException {
        json.writeStartObject();
        json.writeNumberField("task", placement.task());
        json.writeStringField("machine", placement.machine());
        json.writeStringField("zone", placement.zone());
        json.writeStringField("stop", outerName(placement.stop()));
        json.writeEndObject();
    }

    /** Returns the name of a stop in the answer to {@code job}; operators' scripts match these names. */
    private static String outerName(Placement.Stop stop) {
        return switch (stop) {
            case KEEP -> "KEEP";
            case CHECKPOINT -> "SAVE";
            case NOW -> "NOW";
        };
    }

    private void writeMove(JobDetails.MoveRow move) throws IOException {
        json.writeStartObject();
        json.writeNumberField("task", move.task());
        json.writeStringField("from", move.from());
        json.writeStringField("to", move.to());
        json.writeStringField("for", move.beneficiary());
        json.writeNumberField("gain_cpu_s", move.gainCpuS());
        json.writeNumberField("disruption_cpu_s", move.disruptionCpuS());
        json.writeEndObject();
    }

    private void writeTerminalJob(String id, Records.TerminalJob job) throws IOException {
        json.writeStringField("job", id);
        json.writeStringField("state", job.state().name());
        json.writeStringField("team", job.team());
        json.writeNumberField("tasks", job.tasks());
        json.writeNumberField("finished", job.finished());
    }

    private void writeLoad(LoadView load) throws IOException {
        json.writeNumberField("age_ms", load.ageMs());
        json.writeNumberField("peak_to_mean", load.peakToMean());
        json.writeArrayFieldStart("groups");
        for (LoadView.Group group : load.groups()) {
            writeGroup(group);
        }
        json.writeEndArray();
        json.writeArrayFieldStart("demand");
        for (LoadView.TeamDemand demand : load.demand()) {
            json.writeStartObject();
            json.writeStringField("team", demand.team());
            json.writeNumberField("waiting_cpu_s", demand.waitingCpuS());
            json.writeNumberField("placed_cpu_s", demand.placedCpuS());
            json.writeEndObject();
        }
        json.writeEndArray();
    }

    private void writeGroup(LoadView.Group group) throws IOException {
        json.writeStartObject();
        json.writeStringField("group", group.name());
        json.writeNumberField("machines", group.machines());
        json.writeNumberField("serving", group.serving());
        json.writeBooleanField("known", group.known());
        json.writeStringField("unknown", group.unknown());
        json.writeNumberField("cpus", group.cpus());
        json.writeNumberField("used", group.used());
        json.writeNumberField("utilization", group.utilization());
        json.writeNumberField("waiting_cpu_s", group.waitingCpuS());
        json.writeStringField("teams", group.teams());
        json.writeEndObject();
    }
}
