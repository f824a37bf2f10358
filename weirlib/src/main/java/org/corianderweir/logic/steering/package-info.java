/** Chooses the route and the backend server of a request. */
@NullMarked
package org.corianderweir.logic.steering;

import org.jspecify.annotations.NullMarked;
