/** Tests of the limits over the fleet, with a deterministic harness of generated histories. */
package org.corianderweir.logic.limits;
