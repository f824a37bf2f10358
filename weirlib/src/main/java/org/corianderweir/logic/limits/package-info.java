/** Decides whether an organisation's request is inside its rate and burst. */
@NullMarked
package org.corianderweir.logic.limits;

import org.jspecify.annotations.NullMarked;
