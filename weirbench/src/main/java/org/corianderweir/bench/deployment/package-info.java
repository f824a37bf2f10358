/** Deployments of the users' systems, read from INI files, and the addresses of their hosts. */
@NullMarked
package org.corianderweir.bench.deployment;

import org.jspecify.annotations.NullMarked;
