/** Numbered events and the time line they form. */
@NullMarked
package org.corianderweir.model.timeline;

import org.jspecify.annotations.NullMarked;
