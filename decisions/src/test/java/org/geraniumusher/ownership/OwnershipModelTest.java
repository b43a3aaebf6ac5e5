package org.geraniumusher.ownership;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;

import org.geraniumusher.AlloyModel;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

import java.util.stream.Stream;

/**
 * Guards against a fault in the ownership protocol itself: two servers that serve one slice, or an
 * acknowledged assignment that an older writer undoes.
 *
 * <p>Runs the commands of {@code ownership.als}. A check of the complete protocol must find no
 * counterexample; with one rule switched off it must find one, or else the check proves nothing.
 * Scope: three members, two servers, up to two gateways, three states of the shard; the checks of
 * the complete protocol take 7 to 9 steps and 2 or 3 instants of time, as docs/model.md lists.
 */
class OwnershipModelTest {
    private static final String SOUND =
            "OneServer OneServerDeep OneServerMixed OneServerUnfenced NothingUndone";
    private static final String SATISFIABLE =
            "Move MoveOfUnfenced NoMajority NoWaitForLapse NoVersionCheck NoReadBack"
                    + " NoReadBackUndone NoConditionalUpdate NoCutGrant NoCutTableLease"
                    + " NoProofOfStop NoFencedOnly NoFreshAuthority NoFenceBeforeAck";
    private static final AlloyModel MODEL = AlloyModel.parse("ownership.als");

    @Test
    void commands_list_holdsEachCheckAndEachFault() {
        assertThat(MODEL.commandsThatExpect(false))
                .isEqualTo(ImmutableSet.copyOf(SOUND.split(" ")));
        assertThat(MODEL.commandsThatExpect(true))
                .isEqualTo(ImmutableSet.copyOf(SATISFIABLE.split(" ")));
    }

    @TestFactory
    Stream<DynamicTest> command_solved_asExpected() {
        return MODEL.tests();
    }
}
