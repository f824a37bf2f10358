/** Stand-in backend servers. */
@NullMarked
package org.corianderweir.bench.backend;

import org.jspecify.annotations.NullMarked;
