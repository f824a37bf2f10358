/** Assigns hybrid logical timestamps to events and keeps the latest events. */
@NullMarked
package org.corianderweir.logic.timeline;

import org.jspecify.annotations.NullMarked;
