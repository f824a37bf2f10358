/** Tracks which entry instances are alive, from heartbeats and the platform's list. */
@NullMarked
package org.corianderweir.logic.membership;

import org.jspecify.annotations.NullMarked;
