/**
 * Which entry instance holds which slot of its availability zone, and until when it is sure of it.
 */
@NullMarked
package org.corianderweir.logic.limits.slots;

import org.jspecify.annotations.NullMarked;
