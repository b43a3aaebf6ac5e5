package org.geraniumusher.daemon;

import static com.google.common.truth.Truth.assertThat;

import org.geraniumusher.membership.Member;
import org.geraniumusher.model.Address;
import org.geraniumusher.ownership.AuthorityAck;
import org.geraniumusher.ownership.AuthorityRequest;
import org.geraniumusher.ownership.MemberId;
import org.geraniumusher.peer.AuthorityMessage;
import org.junit.jupiter.api.Test;

import java.util.Optional;

/** Guards against a message that a restarted daemon takes for one to its present run. */
class AuthorityMessagesTest {
    private static final Address ADDRESS = Address.of("127.0.0.1:7000");
    private static final Member SENDER = new Member("a", 3, "nadi-b", ADDRESS, ADDRESS, ADDRESS);
    private static final MemberId FROM = new MemberId("a", 3);
    private static final MemberId TO = new MemberId("b", 4);

    @Test
    void fromWire_request_keepsTheIncarnationOfTheReceiver() {
        AuthorityRequest request = new AuthorityRequest("s", FROM, TO, 9, 77, Optional.empty());
        var wire = (AuthorityMessage.AuthorityRequest) AuthorityMessages.toWire(request);
        assertThat(AuthorityMessages.fromWire(SENDER, "b", wire)).isEqualTo(request);
    }

    @Test
    void fromWire_acknowledgement_isTheSame() {
        AuthorityAck ack = new AuthorityAck("s", FROM, TO, 9, 77, true, 12, Optional.empty());
        var wire = (AuthorityMessage.AuthorityAck) AuthorityMessages.toWire(ack);
        assertThat(AuthorityMessages.fromWire(SENDER, "b", wire)).isEqualTo(ack);
    }
}
