/** Tests of the package. */
package org.corianderweir.bench.deployment;
