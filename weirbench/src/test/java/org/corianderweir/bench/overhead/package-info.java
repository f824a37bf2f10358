/** Tests of the package. */
package org.corianderweir.bench.overhead;
