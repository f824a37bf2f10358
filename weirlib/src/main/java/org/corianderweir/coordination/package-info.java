/**
 * The coordination of an entry instance with the others, as a state machine without threads, clock
 * or network. Its inputs are messages and the current time, its outputs are actions to perform.
 */
@NullMarked
package org.corianderweir.coordination;

import org.jspecify.annotations.NullMarked;
