import com.sun.net.httpserver.HttpExchange;
import garnetscale.wire.Cbor;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The cloud of PROTOCOL: lists the running machines with the lag of the settings, deletes them, and has no more to give. */
public final class CloudStandIn {
    public final int port;
    /** How many more machines the cloud has to give, ordinary and spot ones alike. */
    public volatile int capacity;
    /** How long a rented machine boots, in seconds. */
    public volatile double bootS = 2;
    /** How many requests for machines have come. */
    public volatile int requests;
    private final World world;
    private final Map<String, Map<String, Object>> answered = new HashMap<>();
    private int lastRented = 900;

    CloudStandIn(World world) throws IOException {
        this.world = world;
        this.port = world.listen(this::handle);
    }

    private void handle(HttpExchange exchange) throws IOException {
        String path = exchange.getRequestURI().getPath();
        byte[] body = exchange.getRequestBody().readAllBytes();
        if (path.equals("/flavors")) {
            List<Object> breeds = new ArrayList<>();
            for (World.MachineType machineType : world.types) {
                Map<String, Object> type = new LinkedHashMap<>();
                type.put("name", machineType.name());
                type.put("cpus", machineType.cpus());
                type.put("gpus", 0.0);
                type.put("ram_gb", machineType.ramGb());
                type.put("cache_gb", 30.0);
                type.put("fetch_gb_per_s", 0.8);
                type.put("rate", 1.61 * machineType.cpus() / 32);
                type.put("market_price", 0.45 * machineType.cpus() / 32);
                type.put("startup_s", machineType.bootS());
                type.put("fields", world.zones.stream().distinct().toList());
                breeds.add(type);
            }
            World.reply(exchange, 200, Map.of("breeds", breeds));
        } else if (path.equals("/machines") && exchange.getRequestMethod().equals("GET")) {
            String query = String.valueOf(exchange.getRequestURI().getRawQuery());
            int at = query.indexOf("since=");
            String since = at < 0 ? "" : query.substring(at + 6).split("&")[0];
            List<Object> rows = new ArrayList<>();
            world.workers.stream()
                    .filter(worker -> worker.id.compareTo(since) > 0 && worker.ageS() > world.listLagS)
                    .sorted(Comparator.comparing(worker -> worker.id))
                    .forEach(worker -> {
                        String mood = worker.listedAs();
                        if (mood != null) {
                            Map<String, Object> row = new LinkedHashMap<>();
                            row.put("id", worker.id);
                            row.put("address", worker.address);
                            row.put("breed", worker.type.name());
                            row.put("field", worker.zone);
                            row.put("windfall", worker.spot);
                            row.put("mood", mood);
                            row.put("age_s", worker.ageS());
                            rows.add(row);
                        }
                    });
            World.reply(exchange, 200, Map.of("hives", rows, "has_next", false));
        } else if (path.equals("/machines")) {
            World.reply(exchange, capacity > 0 ? 200 : 503, rent(Cbor.readMap(body)));
        } else {
            List<?> names = (List<?>) Cbor.readMap(body).get("hives");
            world.log("cloud deletes " + names);
            for (Worker worker : world.workers) {
                if (names.contains(worker.id)) {
                    worker.delete();
                }
            }
            World.reply(exchange, 200, Map.of());
        }
    }

    /** Rents machines; an answered request that is repeated gets the same answer. */
    private synchronized Map<String, Object> rent(Map<?, ?> request) {
        requests++;
        world.log("cloud is asked for machines: " + request);
        if (answered.containsKey((String) request.get("ask"))) {
            return answered.get((String) request.get("ask"));
        }
        if (capacity <= 0) {
            return Map.of("error", "no capacity");
        }
        List<Object> ids = new ArrayList<>();
        int count = Math.min(capacity, ((Number) request.get("how_many")).intValue());
        for (int i = 0; i < count; i++) {
            capacity--;
            String id = "m-%06d".formatted(++lastRented);
            ids.add(id);
            world.pool.execute(() -> boot(id, request));
        }
        Map<String, Object> answer = Map.of("hives", ids);
        answered.put((String) request.get("ask"), answer);
        return answer;
    }

    private void boot(String id, Map<?, ?> request) {
        try {
            Thread.sleep((long) (1000 * bootS));
            World.MachineType type = world.types.stream()
                    .filter(known -> known.name().equals(request.get("breed")))
                    .findFirst()
                    .orElseThrow();
            world.startWorker(id, (String) request.get("field"), type, (Boolean) request.get("windfall"));
            world.log("machine is up: " + id);
        } catch (InterruptedException | IOException e) {
            world.log("machine never comes up: " + id);
        }
    }
}
