/** The deployments of the users: what stands where, read from INI files. */
@NullMarked
package org.corianderweir.bench.deployment;

import org.jspecify.annotations.NullMarked;
