/** Chooses the entry instances that a client is told to use. */
@NullMarked
package org.corianderweir.logic.lookup;

import org.jspecify.annotations.NullMarked;
