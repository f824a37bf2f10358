/** Checks callers' keys and tracks whether the keys in force are fresh enough to accept them. */
@NullMarked
package org.corianderweir.logic.keys;

import org.jspecify.annotations.NullMarked;
