/**
 * Queues requests fairly, chooses the backend server of a request, decides on retries, ensures that
 * a request with an identifier runs at most once, and tracks the draining of backend servers.
 */
@NullMarked
package org.corianderweir.logic.delivery;

import org.jspecify.annotations.NullMarked;
