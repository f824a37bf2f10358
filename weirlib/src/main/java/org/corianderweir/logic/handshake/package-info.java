/** Mutual authentication of two entry instances by a shared secret, as a pure state machine. */
@NullMarked
package org.corianderweir.logic.handshake;

import org.jspecify.annotations.NullMarked;
