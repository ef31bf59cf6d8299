package garnetscale.emulator;

import garnetscale.core.machine.MachineType;
import garnetscale.net.Reply;
import garnetscale.wire.Cbor;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Emulates the cloud by its published protocol: lists the emulated workers as instances, and has no capacity for more. */
final class EmulatedCloud {

    private static final double INSTANCE_AGE_S = 10;

    private final MachineType type;
    private final List<String> instances;

    /**
     * Creates a cloud.
     *
     * @param type      the type of all instances
     * @param instances the names of the instances; the list may grow
     */
    EmulatedCloud(MachineType type, List<String> instances) {
        this.type = type;
        this.instances = instances;
    }

    void handle(String method, String uri, byte[] body, Consumer<Reply> answer) {
        String path = new QueryStringDecoder(uri).path();
        if (path.equals("/flavors")) {
            answer.accept(ok(Map.of("breeds", List.of(typeRow()))));
        } else if (path.equals("/machines") && method.equals("GET")) {
            answer.accept(ok(Map.of("hives", instanceRows(), "has_next", false)));
        } else if (path.equals("/machines")) {
            answer.accept(Reply.of(503, Cbor.write(Map.of("error", "no capacity"))));
        } else {
            answer.accept(ok(Map.of()));
        }
    }

    private Map<String, Object> typeRow() {
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("name", type.name());
        row.put("cpus", type.cpus());
        row.put("gpus", type.gpus());
        row.put("ram_gb", type.memoryGb());
        row.put("cache_gb", type.cacheGb());
        row.put("fetch_gb_per_s", type.fetchGbPerS());
        row.put("rate", type.price());
        row.put("market_price", type.spotPrice());
        row.put("startup_s", type.bootS());
        row.put("fields", type.zones());
        return row;
    }

    private List<Object> instanceRows() {
        List<Object> rows = new ArrayList<>();
        for (String instance : instances) {
            Map<String, Object> row = new LinkedHashMap<>();
            row.put("id", instance);
            row.put("address", "");
            row.put("breed", type.name());
            row.put("field", type.zones().get(0));
            row.put("windfall", false);
            row.put("mood", "running");
            row.put("age_s", INSTANCE_AGE_S);
            rows.add(row);
        }
        return rows;
    }

    private static Reply ok(Map<String, ?> body) {
        return Reply.of(200, Cbor.write(body));
    }
}
