package org.geraniumusher.ownership;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableSet;
import com.google.common.io.Resources;

import edu.mit.csail.sdg.alloy4.A4Reporter;
import edu.mit.csail.sdg.ast.Command;
import edu.mit.csail.sdg.ast.Module;
import edu.mit.csail.sdg.parser.CompUtil;
import edu.mit.csail.sdg.translator.A4Options;
import edu.mit.csail.sdg.translator.A4Solution;
import edu.mit.csail.sdg.translator.TranslateAlloyToKodkod;

import kodkod.engine.satlab.SATFactory;

import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

import java.nio.file.Path;
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
    private static final Module MODEL = parse();

    @Test
    void commands_list_holdsEachCheckAndEachFault() {
        assertThat(labels(0)).isEqualTo(ImmutableSet.copyOf(SOUND.split(" ")));
        assertThat(labels(1)).isEqualTo(ImmutableSet.copyOf(SATISFIABLE.split(" ")));
    }

    @TestFactory
    Stream<DynamicTest> command_solved_asExpected() {
        return MODEL.getAllCommands().stream()
                .map(c -> DynamicTest.dynamicTest(c.label, () -> check(c)));
    }

    private static void check(Command command) throws Exception {
        assertThat(command.expects).isAnyOf(0, 1);
        A4Options options = new A4Options();
        options.solver = SATFactory.find("sat4j").orElseThrow();
        A4Solution solution =
                TranslateAlloyToKodkod.execute_command(
                        A4Reporter.NOP, MODEL.getAllReachableSigs(), command, options);
        assertWithMessage("%s has an instance:\n%s", command, solution)
                .that(solution.satisfiable())
                .isEqualTo(command.expects == 1);
    }

    private static ImmutableSet<String> labels(int expects) {
        return MODEL.getAllCommands().stream()
                .filter(c -> c.expects == expects)
                .map(c -> c.label)
                .collect(ImmutableSet.toImmutableSet());
    }

    private static Module parse() {
        try {
            Path path = Path.of(Resources.getResource("ownership.als").toURI());
            return CompUtil.parseEverything_fromFile(A4Reporter.NOP, null, path.toString());
        } catch (Exception e) {
            throw new IllegalStateException("ownership.als cannot be read", e);
        }
    }
}
