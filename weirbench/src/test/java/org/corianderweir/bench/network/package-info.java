/** Tests of the bench's network. */
package org.corianderweir.bench.network;
