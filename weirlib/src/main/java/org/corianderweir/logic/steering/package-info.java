/**
 * Matches requests to selectors and chooses the backend servers that a request may be sent to.
 *
 * <p>A selector distributes its traffic over destinations by weight. A cell is the part of a
 * destination in one availability zone. A shift moves the traffic from earlier shares to new ones
 * at the rate of the selector's cap.
 */
@NullMarked
package org.corianderweir.logic.steering;

import org.jspecify.annotations.NullMarked;
