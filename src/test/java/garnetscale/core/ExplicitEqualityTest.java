package garnetscale.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import garnetscale.core.bidding.Bid;
import garnetscale.core.cluster.LeaderInfo;
import garnetscale.core.job.TaskId;
import garnetscale.core.machine.ExitCause;
import garnetscale.core.machine.MachineAddress;
import garnetscale.core.machine.Placement;
import garnetscale.core.machine.TaskState;
import garnetscale.core.machine.TaskStatus;
import garnetscale.core.partition.MachineStatus;
import garnetscale.peer.PeerMessage;
import java.lang.reflect.Constructor;
import java.lang.reflect.RecordComponent;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks that records with an explicit {@code equals} compare every component. A component that was added to a record but not
 * to its {@code equals} would hide changes: an observation would not be sent, or a bid batch would be taken for the previous one.
 */
class ExplicitEqualityTest {

    @ParameterizedTest
    @ValueSource(
            classes = {
                TaskId.class,
                Placement.class,
                TaskStatus.class,
                MachineAddress.class,
                Bid.class,
                LeaderInfo.class,
                MachineStatus.class,
                PeerMessage.MachineDirectory.class
            })
    void equalsComparesEveryComponent(Class<? extends Record> type) throws ReflectiveOperationException {
        RecordComponent[] components = type.getRecordComponents();
        Constructor<? extends Record> constructor = type.getDeclaredConstructor(
                Arrays.stream(components).map(RecordComponent::getType).toArray(Class<?>[]::new));
        constructor.setAccessible(true);
        Object[] values = Arrays.stream(components).map(c -> sample(c, 0)).toArray();
        Record original = constructor.newInstance(values);
        Record copy = constructor.newInstance(
                Arrays.stream(components).map(c -> sample(c, 0)).toArray());
        assertEquals(original, copy);
        assertEquals(original.hashCode(), copy.hashCode());
        assertNotEquals(original, null);
        for (int i = 0; i < components.length; i++) {
            Object[] changed = values.clone();
            changed[i] = sample(components[i], 1);
            assertNotEquals(original, constructor.newInstance(changed), components[i].getName() + " is not compared");
        }
    }

    private static Object sample(RecordComponent component, int variant) {
        Class<?> type = component.getType();
        if (type == String.class) {
            return "text-" + variant;
        } else if (type == long.class) {
            return 7L + variant;
        } else if (type == int.class) {
            return 7 + variant;
        } else if (type == double.class) {
            return 7.5 + variant;
        } else if (type == Double.class) {
            return variant == 0 ? null : 7.5;
        } else if (type == boolean.class) {
            return variant == 0;
        } else if (type == TaskId.class) {
            return new TaskId("job", variant);
        } else if (type == TaskState.class) {
            return TaskState.values()[variant];
        } else if (type == ExitCause.class) {
            return variant == 0 ? null : ExitCause.DONE;
        } else if (type == Placement.Stop.class) {
            return Placement.Stop.values()[variant];
        } else if (type == List.class) {
            return variant == 0 ? List.of() : List.of("element");
        }
        throw new IllegalArgumentException("no sample for " + component);
    }
}
