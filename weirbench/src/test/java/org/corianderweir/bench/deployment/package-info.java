/** Tests of the deployment files. */
package org.corianderweir.bench.deployment;
