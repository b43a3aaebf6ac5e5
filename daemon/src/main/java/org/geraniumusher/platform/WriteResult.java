package org.geraniumusher.platform;

import java.util.Optional;

/** Is the result of a conditional write. */
public sealed interface WriteResult {
    /** Tells that the write took effect at {@code version}. */
    record Written(long version) implements WriteResult {}

    /** Tells that the object has changed since it was read; empty when it does not exist. */
    record Conflict(Optional<StoredObject> current) implements WriteResult {}

    /** Tells that the store refuses the value. */
    record Refused(String reason) implements WriteResult {}

    /** Tells that no answer came: the write may or may not have taken effect. Read it back. */
    record Unknown(String reason) implements WriteResult {}
}
