package org.geraniumusher.keyrange;

import static com.google.common.truth.Truth.assertThat;

import org.geraniumusher.AlloyModel;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

import java.util.stream.Stream;

/**
 * Guards against a fault in the rules of the grants themselves: two servers that hold one range.
 *
 * <p>Runs the commands of {@code key-ranges.als}. With one rule switched off a command must find
 * two holders, or else the check of the complete rules proves nothing. Scope: three servers, 8 to
 * 10 steps and 5 or 6 instants.
 */
final class RangeModelTest {
    private static final AlloyModel MODEL = AlloyModel.parse("key-ranges.als");

    @Test
    void commands_list_holdsEachCheckAndEachFault() {
        assertThat(MODEL.commandsThatExpect(false)).containsExactly("OneHolder", "OneHolderDeep");
        assertThat(MODEL.commandsThatExpect(true))
                .containsExactly(
                        "Move",
                        "MoveAfterTakeover",
                        "NoInheritedHold",
                        "NoConfirmation",
                        "NoWait",
                        "NoFormerHolder");
    }

    @TestFactory
    Stream<DynamicTest> command_solved_asExpected() {
        return MODEL.tests();
    }
}
