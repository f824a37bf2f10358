/** Answers look-ups: finds a client's availability zone and ranks the entry instances for it. */
@NullMarked
package org.corianderweir.logic.lookup;

import org.jspecify.annotations.NullMarked;
