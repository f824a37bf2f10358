/** Tests of the coordination with simulated fleets and generated histories. */
package org.corianderweir.coordination;
