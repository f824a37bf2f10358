/** Events with codes and timestamps, which together form a timeline. */
@NullMarked
package org.corianderweir.model.timeline;

import org.jspecify.annotations.NullMarked;
