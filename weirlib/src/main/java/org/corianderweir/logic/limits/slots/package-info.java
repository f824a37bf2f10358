/**
 * Assignment of the slots of an availability zone to its entry instances, and until when each
 * instance may rely on its slots.
 */
@NullMarked
package org.corianderweir.logic.limits.slots;

import org.jspecify.annotations.NullMarked;
