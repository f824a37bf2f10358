/** Explains where a request goes and what a change would do, before it is applied. */
@NullMarked
package org.corianderweir.logic.steering.explain;

import org.jspecify.annotations.NullMarked;
