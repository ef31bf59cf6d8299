package garnetscale.wire;

import garnetscale.core.autoscaling.CloudCall;
import garnetscale.core.autoscaling.CloudInstance;
import garnetscale.core.machine.MachineType;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What the cloud is asked and answers. */
public final class CloudCodec {

    public static final int PAGE = 500;

    /** A page of the machine list. */
    public record Page(List<CloudInstance> machines, boolean more) {}

    private CloudCodec() {}

    public static List<MachineType> types(byte[] body) throws IOException {
        List<MachineType> list = new ArrayList<>();
        for (Object o : new Fields(Cbor.readMap(body)).list("breeds")) {
            Fields t = Fields.of(o, "breed");
            double price = t.amount("rate");
            Double spot = t.amountOrNull("market_price");
            List<String> zones = t.textsOrNull("fields");
            list.add(new MachineType(
                    t.text("name"),
                    t.amount("cpus"),
                    t.amount("gpus"),
                    t.amount("ram_gb"),
                    t.amount("cache_gb"),
                    t.amount("fetch_gb_per_s"),
                    price,
                    spot == null ? price : spot,
                    t.amount("startup_s"),
                    zones == null ? List.of() : zones));
        }
        return List.copyOf(list);
    }

    public static byte[] scaleOut(CloudCall.ScaleOut r) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("ask", r.request());
        m.put("breed", r.type());
        m.put("field", r.zone());
        m.put("windfall", r.spot());
        m.put("how_many", r.count());
        return Cbor.write(m);
    }

    public static List<String> scaledOut(byte[] body) throws IOException {
        List<String> ids = new Fields(Cbor.readMap(body)).textsOrNull("hives");
        return ids == null ? List.of() : ids;
    }

    public static byte[] delete(CloudCall.ScaleIn d) {
        return Cbor.write(Map.of("hives", d.machines()));
    }

    public static String pagePath(CloudCall.ListInstances p) {
        return "/machines?limit=" + PAGE + (p.after().isEmpty() ? "" : "&since=" + p.after());
    }

    public static Page page(byte[] body) throws IOException {
        Fields f = new Fields(Cbor.readMap(body));
        List<CloudInstance> list = new ArrayList<>();
        for (Object o : f.list("hives")) {
            Fields m = Fields.of(o, "machine");
            CloudInstance.State state =
                    switch (m.text("mood")) {
                        case "failed" -> CloudInstance.State.FAILED;
                        case "running" -> CloudInstance.State.RUNNING;
                        default -> CloudInstance.State.BOOTING;
                    };
            String address = m.textOrNull("address");
            list.add(new CloudInstance(
                    m.text("id"),
                    address == null ? "" : address,
                    m.text("breed"),
                    m.text("field"),
                    m.flagOrFalse("windfall"),
                    state,
                    m.amount("age_s")));
        }
        return new Page(list, f.flagOrFalse("has_next"));
    }
}
