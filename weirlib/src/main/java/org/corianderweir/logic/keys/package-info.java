/** Decides which organisation a caller's key belongs to. */
@NullMarked
package org.corianderweir.logic.keys;

import org.jspecify.annotations.NullMarked;
