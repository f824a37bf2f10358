/**
 * The coordination of an entry instance with the others, as a state machine without threads, clock
 * or network: messages and the present time go in, actions come out.
 */
@NullMarked
package org.corianderweir.coordination;

import org.jspecify.annotations.NullMarked;
