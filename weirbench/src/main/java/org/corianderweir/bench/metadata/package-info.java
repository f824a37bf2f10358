/** Stand-ins of the users' platform that speak its protocol: the metadata store and servers. */
@NullMarked
package org.corianderweir.bench.metadata;

import org.jspecify.annotations.NullMarked;
