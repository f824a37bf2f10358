/** Stand-ins for backend servers, with switchable faults and request journals. */
@NullMarked
package org.corianderweir.bench.backend;

import org.jspecify.annotations.NullMarked;
