package garnetscale.wire;

import garnetscale.core.autoscaling.CloudCall;
import garnetscale.core.autoscaling.CloudInstance;
import garnetscale.core.machine.MachineType;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Encodes requests to the cloud and decodes its answers; the field names are those of PROTOCOL, "The cloud". */
public final class CloudCodec {

    /** Maximum number of instances in a page of the instance list. */
    public static final int PAGE_SIZE = 500;

    /**
     * One page of the instance list.
     *
     * @param more whether further pages follow
     */
    public record Page(List<CloudInstance> machines, boolean more) {}

    private CloudCodec() {}

    /**
     * Decodes the machine types with their current prices. The spot price of a type without one is its regular price.
     *
     * @throws IOException if the body is malformed; the message names the field
     */
    public static List<MachineType> types(byte[] body) throws IOException {
        List<MachineType> list = new ArrayList<>();
        for (Object item : new Fields(Cbor.readMap(body)).list("breeds")) {
            Fields type = Fields.of(item, "breed");
            double price = type.amount("rate");
            Double spot = type.amountOrNull("market_price");
            List<String> zones = type.textListOrNull("fields");
            list.add(new MachineType(
                    type.text("name"),
                    type.amount("cpus"),
                    type.amount("gpus"),
                    type.amount("ram_gb"),
                    type.amount("cache_gb"),
                    type.amount("fetch_gb_per_s"),
                    price,
                    spot == null ? price : spot,
                    type.amount("startup_s"),
                    zones == null ? List.of() : zones));
        }
        return List.copyOf(list);
    }

    /** Encodes a request for new instances. */
    public static byte[] scaleOut(CloudCall.ScaleOut request) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("ask", request.request());
        body.put("breed", request.type());
        body.put("field", request.zone());
        body.put("windfall", request.spot());
        body.put("how_many", request.count());
        return Cbor.write(body);
    }

    /**
     * Decodes the answer to a scale-out request.
     *
     * @return the ids of the new instances; empty if the answer names none
     * @throws IOException if the body is malformed
     */
    public static List<String> newInstances(byte[] body) throws IOException {
        List<String> ids = new Fields(Cbor.readMap(body)).textListOrNull("hives");
        return ids == null ? List.of() : ids;
    }

    /** Encodes the deletion of instances. */
    public static byte[] delete(CloudCall.ScaleIn request) {
        return Cbor.write(Map.of("hives", request.machines()));
    }

    /** Returns the path and query of a page of the instance list. */
    public static String pagePath(CloudCall.ListInstances request) {
        return "/machines?limit=" + PAGE_SIZE + (request.after().isEmpty() ? "" : "&since=" + request.after());
    }

    /**
     * Decodes a page of the instance list. A state other than failed or running is decoded as {@code BOOTING}, a missing address
     * as an empty one.
     *
     * @throws IOException if the body is malformed; the message names the field
     */
    public static Page page(byte[] body) throws IOException {
        Fields fields = new Fields(Cbor.readMap(body));
        List<CloudInstance> list = new ArrayList<>();
        for (Object item : fields.list("hives")) {
            Fields machine = Fields.of(item, "machine");
            CloudInstance.State state =
                    switch (machine.text("mood")) {
                        case "failed" -> CloudInstance.State.FAILED;
                        case "running" -> CloudInstance.State.RUNNING;
                        default -> CloudInstance.State.BOOTING;
                    };
            String address = machine.textOrNull("address");
            list.add(new CloudInstance(
                    machine.text("id"),
                    address == null ? "" : address,
                    machine.text("breed"),
                    machine.text("field"),
                    machine.flagOrFalse("windfall"),
                    state,
                    machine.amount("age_s")));
        }
        return new Page(list, fields.flagOrFalse("has_next"));
    }
}
