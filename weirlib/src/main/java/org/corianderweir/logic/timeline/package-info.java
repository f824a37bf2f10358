/** Stamps events with a hybrid logical clock and keeps the latest ones. */
@NullMarked
package org.corianderweir.logic.timeline;

import org.jspecify.annotations.NullMarked;
