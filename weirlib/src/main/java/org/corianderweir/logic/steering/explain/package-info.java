/** Explains how a request is steered, and which effects a change would have if it were applied. */
@NullMarked
package org.corianderweir.logic.steering.explain;

import org.jspecify.annotations.NullMarked;
