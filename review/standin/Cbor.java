import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes CBOR as maps with text keys, lists, texts, longs, doubles, booleans and nulls. */
final class Cbor {
    private final byte[] in;
    private int at;

    private Cbor(byte[] in) {
        this.in = in;
    }

    static Map<String, Object> map(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            map.put((String) pairs[i], pairs[i + 1]);
        }
        return map;
    }

    static byte[] write(Object value) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        write(out, value);
        return out.toByteArray();
    }

    private static void write(ByteArrayOutputStream out, Object value) {
        if (value == null) {
            out.write(0xf6);
        } else if (value instanceof Boolean flag) {
            out.write(flag ? 0xf5 : 0xf4);
        } else if (value instanceof Integer || value instanceof Long) {
            long number = ((Number) value).longValue();
            head(out, number < 0 ? 1 : 0, number < 0 ? -1 - number : number);
        } else if (value instanceof Number number) {
            out.write(0xfb);
            bytes(out, Double.doubleToLongBits(number.doubleValue()), 8);
        } else if (value instanceof String text) {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            head(out, 3, bytes.length);
            out.writeBytes(bytes);
        } else if (value instanceof List<?> list) {
            head(out, 4, list.size());
            list.forEach(item -> write(out, item));
        } else if (value instanceof Map<?, ?> map) {
            head(out, 5, map.size());
            map.forEach((key, item) -> {
                write(out, key);
                write(out, item);
            });
        } else {
            throw new IllegalArgumentException("no CBOR form: " + value.getClass());
        }
    }

    private static void head(ByteArrayOutputStream out, int major, long number) {
        if (number < 24) {
            out.write(major << 5 | (int) number);
        } else if (number < 1 << 8) {
            out.write(major << 5 | 24);
            bytes(out, number, 1);
        } else if (number < 1 << 16) {
            out.write(major << 5 | 25);
            bytes(out, number, 2);
        } else if (number < 1L << 32) {
            out.write(major << 5 | 26);
            bytes(out, number, 4);
        } else {
            out.write(major << 5 | 27);
            bytes(out, number, 8);
        }
    }

    private static void bytes(ByteArrayOutputStream out, long number, int count) {
        for (int i = count - 1; i >= 0; i--) {
            out.write((int) (number >> 8 * i));
        }
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> readMap(byte[] body) throws IOException {
        if (body != null && body.length > 0 && read(body) instanceof Map<?, ?> map) {
            return (Map<String, Object>) map;
        }
        throw new IOException("not a map");
    }

    static Object read(byte[] body) throws IOException {
        try {
            return new Cbor(body).value();
        } catch (IndexOutOfBoundsException e) {
            throw new IOException("cut short");
        }
    }

    private int next() {
        return in[at++] & 0xff;
    }

    private long number(int info) {
        if (info < 24) {
            return info;
        }
        long number = 0;
        for (int i = 1 << info - 24; i > 0; i--) {
            number = number << 8 | next();
        }
        return number;
    }

    private Object value() throws IOException {
        int first = next();
        int info = first & 31;
        switch (first >> 5) {
            case 0:
                return number(info);
            case 1:
                return -1 - number(info);
            case 3: {
                if (info == 31) {
                    StringBuilder text = new StringBuilder();
                    while ((in[at] & 0xff) != 0xff) {
                        text.append(value());
                    }
                    at++;
                    return text.toString();
                }
                int length = (int) number(info);
                at += length;
                return new String(in, at - length, length, StandardCharsets.UTF_8);
            }
            case 4: {
                List<Object> list = new ArrayList<>();
                long count = info == 31 ? Long.MAX_VALUE : number(info);
                while (count-- > 0) {
                    if (info == 31 && (in[at] & 0xff) == 0xff) {
                        at++;
                        break;
                    }
                    list.add(value());
                }
                return list;
            }
            case 5: {
                Map<String, Object> map = new LinkedHashMap<>();
                long count = info == 31 ? Long.MAX_VALUE : number(info);
                while (count-- > 0) {
                    if (info == 31 && (in[at] & 0xff) == 0xff) {
                        at++;
                        break;
                    }
                    String key = (String) value();
                    map.put(key, value());
                }
                return map;
            }
            case 7:
                switch (info) {
                    case 20:
                        return false;
                    case 21:
                        return true;
                    case 22:
                    case 23:
                        return null;
                    case 26:
                        return (double) Float.intBitsToFloat((int) number(26));
                    case 27:
                        return Double.longBitsToDouble(number(27));
                    default:
                        throw new IOException("simple value " + info);
                }
            default:
                throw new IOException("type " + (first >> 5));
        }
    }
}
