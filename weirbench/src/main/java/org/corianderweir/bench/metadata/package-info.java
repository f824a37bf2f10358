/** Stand-ins for the metadata store and the backend servers of the users' platform. */
@NullMarked
package org.corianderweir.bench.metadata;

import org.jspecify.annotations.NullMarked;
