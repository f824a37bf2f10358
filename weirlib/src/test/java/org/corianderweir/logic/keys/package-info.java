/** Tests of the decisions on keys. */
package org.corianderweir.logic.keys;
