/**
 * Measures the latency that an entry instance adds to requests, compared with direct requests to
 * the same backend server.
 */
@NullMarked
package org.corianderweir.bench.overhead;

import org.jspecify.annotations.NullMarked;
