package org.geraniumusher.keyrange;

import static com.google.common.truth.Truth.assertThat;

import org.geraniumusher.AlloyModel;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

import java.util.stream.Stream;

/**
 * Checks the rules of the grants with a model: no range may have two holders.
 *
 * <p>Runs the commands of {@code key-ranges.als}. For each rule, one command switches it off and
 * must find two holders; otherwise the check of the complete rules would prove nothing. Scope: two
 * or three servers, 7 to 12 steps and 2 to 4 instants. {@code store-fences.als} checks that fences
 * rise when the store is restored and gives its revisions out again.
 */
final class RangeModelTest {
    private static final AlloyModel MODEL = AlloyModel.parse("key-ranges.als");
    private static final AlloyModel FENCES = AlloyModel.parse("store-fences.als");

    @Test
    void commands_areTheExpectedOnes() {
        assertThat(MODEL.commandsThatExpect(false))
                .containsExactly("OneHolder", "OneHolderDeep", "LateWriteAfterMove", "LateGrants");
        assertThat(MODEL.commandsThatExpect(true))
                .containsExactly(
                        "Move",
                        "MoveAfterTakeover",
                        "MoveAfterRestore",
                        "ContinueAfterRestore",
                        "NoInheritedHold",
                        "NoConfirmation",
                        "NoWait",
                        "NoProofOfEnd",
                        "MoveAfterEnd",
                        "NoFormerHolder",
                        "NoRestoreWait",
                        "NoUnnamedHolder",
                        "NoEpochOfAnswer",
                        "NoEpochOfWrite",
                        "NoFormerLateGrant",
                        "FencedMoveAfterTakeover");
    }

    @Test
    void commandsOfFences_areTheExpectedOnes() {
        assertThat(FENCES.commandsThatExpect(false)).containsExactly("FencesRise");
        assertThat(FENCES.commandsThatExpect(true))
                .containsExactly("GrantAfterTwoRestores", "NoEpochInFence");
    }

    @TestFactory
    Stream<DynamicTest> commands_haveTheExpectedResults() {
        return Stream.concat(MODEL.tests(), FENCES.tests());
    }
}
