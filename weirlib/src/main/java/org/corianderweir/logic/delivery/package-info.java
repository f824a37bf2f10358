/**
 * Chooses the backend server of a request, decides on retries, and ensures that a request with an
 * identifier runs at most once.
 */
@NullMarked
package org.corianderweir.logic.delivery;

import org.jspecify.annotations.NullMarked;
